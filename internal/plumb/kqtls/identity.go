// Package kqtls configures mutual TLS for the connections between processes. Changed certificate
// files are reloaded, so that certificates can be replaced without a restart.
package kqtls

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"os"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

// ServerName is the DNS name that the certificate of every process must have. Clients connect by
// address but verify this name, so that certificates need not list addresses.
const ServerName = "kumquatswitch"

// checkInterval is the minimum time between two checks for changed files.
const checkInterval = time.Second

// Config holds the paths of the PEM files of an Identity.
type Config struct {
	// Certificate is the file with the certificate chain of this process, Key the one with its
	// private key.
	Certificate string
	Key         string
	// Authorities is the file with the certificate authorities that are trusted to sign the
	// certificates of peers.
	Authorities string
	// Now returns the current time.
	Now func() time.Time
	// OnReload is called after changed files were reloaded. If err is not nil, the previous
	// certificates stay in use. May be nil.
	OnReload func(err error)
}

// credentials holds the parsed content of the files.
type credentials struct {
	certificate tls.Certificate
	authorities *x509.CertPool
}

// Identity holds the certificate of a process and the authorities that it trusts. A nil Identity
// means unencrypted connections.
type Identity struct {
	config Config

	mu           sync.Mutex
	credentials  credentials
	fileVersions [3]fileVersion
	checkedAt    time.Time
}

// Load reads the files. It returns nil if no file is configured.
func Load(c Config) (*Identity, error) {
	if c.Certificate == "" && c.Key == "" && c.Authorities == "" {
		return nil, nil
	}
	if c.Certificate == "" || c.Key == "" || c.Authorities == "" {
		return nil, eris.New("certificate, key and authorities: expected all three or none")
	}
	i := &Identity{config: c, checkedAt: c.Now()}
	var err error
	if i.fileVersions, err = c.fileVersions(); err != nil {
		return nil, err
	}
	i.credentials, err = c.read()
	return i, err
}

// ServerConfig returns the TLS configuration for servers, which requires a client certificate. It
// returns nil for a nil Identity.
func (i *Identity) ServerConfig() *tls.Config {
	if i == nil {
		return nil
	}
	return &tls.Config{MinVersion: tls.VersionTLS13, NextProtos: []string{"h2", "http/1.1"},
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			creds := i.current(i.config.Now())
			return &tls.Config{MinVersion: tls.VersionTLS13, NextProtos: []string{"h2", "http/1.1"}, Certificates: []tls.Certificate{creds.certificate},
				ClientAuth: tls.RequireAndVerifyClientCert, ClientCAs: creds.authorities}, nil
		}}
}

// ClientConfig returns the TLS configuration for clients, or nil for a nil Identity.
func (i *Identity) ClientConfig() *tls.Config {
	if i == nil {
		return nil
	}
	return &tls.Config{MinVersion: tls.VersionTLS13, ServerName: ServerName,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			creds := i.current(i.config.Now())
			return &creds.certificate, nil
		},
		// The standard verification uses the roots in this configuration, which cannot be
		// replaced; verifyServer does the same with the current authorities.
		InsecureSkipVerify: true,
		VerifyConnection:   i.verifyServer}
}

// verifyServer verifies the certificate chain and the name of a server.
func (i *Identity) verifyServer(s tls.ConnectionState) error {
	if len(s.PeerCertificates) == 0 {
		return errors.New("tls: the server sent no certificate")
	}
	now := i.config.Now()
	o := x509.VerifyOptions{Roots: i.current(now).authorities, DNSName: ServerName, CurrentTime: now, Intermediates: x509.NewCertPool()}
	for _, c := range s.PeerCertificates[1:] {
		o.Intermediates.AddCert(c)
	}
	_, err := s.PeerCertificates[0].Verify(o)
	return err
}

// current returns the credentials in use, after reloading them if the files have changed.
func (i *Identity) current(now time.Time) credentials {
	i.mu.Lock()
	defer i.mu.Unlock()
	if now.Sub(i.checkedAt) < checkInterval {
		return i.credentials
	}
	i.checkedAt = now
	versions, err := i.config.fileVersions()
	if err == nil && versions == i.fileVersions {
		return i.credentials
	}
	var creds credentials
	if err == nil {
		creds, err = i.config.read()
	}
	if err == nil {
		i.credentials, i.fileVersions = creds, versions
	}
	if i.config.OnReload != nil {
		i.config.OnReload(err)
	}
	return i.credentials
}

// read reads and parses the files.
func (c Config) read() (creds credentials, err error) {
	if creds.certificate, err = tls.LoadX509KeyPair(c.Certificate, c.Key); err != nil {
		return creds, eris.Wrapf(err, "certificate %s with key %s", c.Certificate, c.Key)
	}
	b, err := os.ReadFile(c.Authorities)
	if err != nil {
		return creds, eris.Wrap(err, "authorities")
	}
	creds.authorities = x509.NewCertPool()
	if !creds.authorities.AppendCertsFromPEM(b) {
		return creds, eris.Errorf("authorities: no certificate in %s", c.Authorities)
	}
	return creds, nil
}

// fileVersion distinguishes the versions of a file.
type fileVersion struct {
	modifiedAt time.Time
	size       int64
}

// fileVersions returns the versions of the certificate, the key and the authorities.
func (c Config) fileVersions() (out [3]fileVersion, err error) {
	for n, name := range []string{c.Certificate, c.Key, c.Authorities} {
		f, err := os.Stat(name)
		if err != nil {
			return out, eris.Wrap(err, "file")
		}
		out[n] = fileVersion{f.ModTime(), f.Size()}
	}
	return out, nil
}

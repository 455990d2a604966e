// Package kqtls secures the connections between processes by mutual TLS. The
// files are read anew when they change, so that certificates can be replaced
// without a restart.
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

// Name is the DNS name that the certificate of every process must carry. Peers
// are dialled by address, so that certificates need not list addresses.
const ServerName = "kumquatswitch"

// checkInterval is the least time between two looks at the files.
const checkInterval = time.Second

// Config names the PEM files of an Identity.
type Config struct {
	// Certificate is the chain of this process, Key its private key.
	Certificate string
	Key         string
	// Authorities is who must have signed the certificates of peers.
	Authorities string
	// Now is the clock.
	Now func() time.Time
	// Reloaded is told when changed files were read; with an error the earlier
	// ones stay in force. May be nil.
	OnReload func(err error)
}

// material is what the files held when they were read.
type material struct {
	certificate tls.Certificate
	authorities *x509.CertPool
}

// Identity is the certificate of a process and what it trusts. A nil Identity
// stands for unencrypted connections.
type Identity struct {
	config Config

	mu        sync.Mutex
	material  material
	stamps    [3]stamp
	checkedAt time.Time
}

// Load reads the files; it returns nil if none is named.
func Load(c Config) (*Identity, error) {
	if c.Certificate == "" && c.Key == "" && c.Authorities == "" {
		return nil, nil
	}
	if c.Certificate == "" || c.Key == "" || c.Authorities == "" {
		return nil, eris.New("certificate, key and authorities: expected all three or none")
	}
	i := &Identity{config: c, checkedAt: c.Now()}
	var err error
	if i.stamps, err = c.stamps(); err != nil {
		return nil, err
	}
	i.material, err = c.read()
	return i, err
}

// Server returns how to serve: peers must show a certificate.
func (i *Identity) ServerConfig() *tls.Config {
	if i == nil {
		return nil
	}
	return &tls.Config{MinVersion: tls.VersionTLS13, NextProtos: []string{"h2", "http/1.1"},
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			m := i.current(i.config.Now())
			return &tls.Config{MinVersion: tls.VersionTLS13, NextProtos: []string{"h2", "http/1.1"}, Certificates: []tls.Certificate{m.certificate},
				ClientAuth: tls.RequireAndVerifyClientCert, ClientCAs: m.authorities}, nil
		}}
}

// Client returns how to dial.
func (i *Identity) ClientConfig() *tls.Config {
	if i == nil {
		return nil
	}
	return &tls.Config{MinVersion: tls.VersionTLS13, ServerName: ServerName,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			m := i.current(i.config.Now())
			return &m.certificate, nil
		},
		// The standard check takes its roots from the configuration, which is fixed;
		// verify does the same with the ones in force.
		InsecureSkipVerify: true,
		VerifyConnection:   i.verify}
}

// verify checks the certificate of a server.
func (i *Identity) verify(s tls.ConnectionState) error {
	if len(s.PeerCertificates) == 0 {
		return errors.New("tls: the server showed no certificate")
	}
	now := i.config.Now()
	o := x509.VerifyOptions{Roots: i.current(now).authorities, DNSName: ServerName, CurrentTime: now, Intermediates: x509.NewCertPool()}
	for _, c := range s.PeerCertificates[1:] {
		o.Intermediates.AddCert(c)
	}
	_, err := s.PeerCertificates[0].Verify(o)
	return err
}

// current returns what is in force, read anew if the files have changed.
func (i *Identity) current(now time.Time) material {
	i.mu.Lock()
	defer i.mu.Unlock()
	if now.Sub(i.checkedAt) < checkInterval {
		return i.material
	}
	i.checkedAt = now
	stamps, err := i.config.stamps()
	if err == nil && stamps == i.stamps {
		return i.material
	}
	var m material
	if err == nil {
		m, err = i.config.read()
	}
	if err == nil {
		i.material, i.stamps = m, stamps
	}
	if i.config.OnReload != nil {
		i.config.OnReload(err)
	}
	return i.material
}

// read parses the files.
func (c Config) read() (m material, err error) {
	if m.certificate, err = tls.LoadX509KeyPair(c.Certificate, c.Key); err != nil {
		return m, eris.Wrapf(err, "certificate %s with key %s", c.Certificate, c.Key)
	}
	b, err := os.ReadFile(c.Authorities)
	if err != nil {
		return m, eris.Wrap(err, "authorities")
	}
	m.authorities = x509.NewCertPool()
	if !m.authorities.AppendCertsFromPEM(b) {
		return m, eris.Errorf("authorities: no certificate in %s", c.Authorities)
	}
	return m, nil
}

// stamp tells one state of a file from another.
type stamp struct {
	at   time.Time
	size int64
}

func (c Config) stamps() (out [3]stamp, err error) {
	for n, name := range []string{c.Certificate, c.Key, c.Authorities} {
		f, err := os.Stat(name)
		if err != nil {
			return out, eris.Wrap(err, "file")
		}
		out[n] = stamp{f.ModTime(), f.Size()}
	}
	return out, nil
}

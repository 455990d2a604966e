// Package kqauthority is a stand-in for the platform's certificate authority.
package kqauthority

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"os"
	"path/filepath"
	"time"

	"github.com/kumquatswitch/kumquatswitch/internal/plumb/kqtls"
)

const (
	// certificateValidity is how long a certificate is valid before and after the time of
	// its issue.
	certificateValidity = time.Hour
	// serialBits is the size of the random serial numbers of issued certificates.
	serialBits = 62
)

// Authority signs certificates.
type Authority struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
}

// New returns an Authority with a new key and a self-signed certificate.
func New(now time.Time, name string) (*Authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, err
	}
	template := &x509.Certificate{SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: name}, NotBefore: now.Add(-certificateValidity),
		NotAfter: now.Add(certificateValidity), IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		return nil, err
	}
	c, err := x509.ParseCertificate(der)
	return &Authority{c, key}, err
}

// issue returns a certificate for a DNS name and its key, both as PEM.
func (a *Authority) issue(now time.Time, name string) (certificate, key []byte, err error) {
	ownKey, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, nil, err
	}
	serial, err := rand.Int(rand.Reader, big.NewInt(1<<serialBits))
	if err != nil {
		return nil, nil, err
	}
	template := &x509.Certificate{SerialNumber: serial, Subject: pkix.Name{CommonName: name}, DNSNames: []string{name}, NotBefore: now.Add(-certificateValidity),
		NotAfter: now.Add(certificateValidity), ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}}
	der, err := x509.CreateCertificate(rand.Reader, template, a.certificate, &ownKey.PublicKey, a.key)
	if err != nil {
		return nil, nil, err
	}
	keyDER, err := x509.MarshalECPrivateKey(ownKey)
	return pemBlock("CERTIFICATE", der), pemBlock("EC PRIVATE KEY", keyDER), err
}

// pemBlock encodes DER data as a PEM block of a type.
func pemBlock(kind string, der []byte) []byte {
	return pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der})
}

// Directory is the path of the directory that holds the certificate files of one process.
type Directory string

// TLSConfig returns a TLS configuration that names the directory's files.
func (d Directory) TLSConfig(now func() time.Time) kqtls.Config {
	path := func(name string) string { return filepath.Join(string(d), name) }
	return kqtls.Config{Certificate: path("certificate.pem"), Key: path("key.pem"), Authorities: path("authorities.pem"), Now: now}
}

// WriteCertificate writes a new certificate and key for a DNS name, signed by issuer, and the
// certificates of the authorities that the process is to trust.
func (d Directory) WriteCertificate(now time.Time, issuer *Authority, name string, trusted ...*Authority) error {
	certificate, key, err := issuer.issue(now, name)
	if err != nil {
		return err
	}
	var authorities []byte
	for _, a := range trusted {
		authorities = append(authorities, pemBlock("CERTIFICATE", a.certificate.Raw)...)
	}
	c := d.TLSConfig(nil)
	for _, f := range []struct {
		name string
		text []byte
	}{{c.Certificate, certificate}, {c.Key, key}, {c.Authorities, authorities}} {
		if err := ReplaceFile(f.name, f.text); err != nil {
			return err
		}
	}
	return nil
}

// ReplaceFile replaces a file atomically by renaming, as tools that rotate certificates do.
func ReplaceFile(name string, text []byte) error {
	if err := os.WriteFile(name+".new", text, 0o600); err != nil {
		return err
	}
	return os.Rename(name+".new", name)
}

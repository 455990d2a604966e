// Package kqauthority stands in for the platform's certificate authority.
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
	validFor   = time.Hour
	serialBits = 62
)

// Authority signs certificates.
type Authority struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
}

// New returns an Authority with a key of its own.
func New(now time.Time, name string) (*Authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, err
	}
	t := &x509.Certificate{SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: name}, NotBefore: now.Add(-validFor),
		NotAfter: now.Add(validFor), IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign}
	der, err := x509.CreateCertificate(rand.Reader, t, t, &key.PublicKey, key)
	if err != nil {
		return nil, err
	}
	c, err := x509.ParseCertificate(der)
	return &Authority{c, key}, err
}

// issue returns a certificate for a DNS name and its key, both as PEM.
func (a *Authority) issue(now time.Time, name string) (certificate, key []byte, err error) {
	own, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, nil, err
	}
	serial, err := rand.Int(rand.Reader, big.NewInt(1<<serialBits))
	if err != nil {
		return nil, nil, err
	}
	t := &x509.Certificate{SerialNumber: serial, Subject: pkix.Name{CommonName: name}, DNSNames: []string{name}, NotBefore: now.Add(-validFor),
		NotAfter: now.Add(validFor), ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}}
	der, err := x509.CreateCertificate(rand.Reader, t, a.certificate, &own.PublicKey, a.key)
	if err != nil {
		return nil, nil, err
	}
	secret, err := x509.MarshalECPrivateKey(own)
	return block("CERTIFICATE", der), block("EC PRIVATE KEY", secret), err
}

func block(kind string, der []byte) []byte {
	return pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der})
}

// Directory holds the files of one process.
type Directory string

// Config returns the files' names.
func (d Directory) TLSConfig(now func() time.Time) kqtls.Config {
	at := func(name string) string { return filepath.Join(string(d), name) }
	return kqtls.Config{Certificate: at("certificate.pem"), Key: at("key.pem"), Authorities: at("authorities.pem"), Now: now}
}

// Write has an authority sign a new certificate for a DNS name, and writes it
// with whom the process is to trust.
func (d Directory) WriteCertificate(now time.Time, by *Authority, name string, trust ...*Authority) error {
	certificate, key, err := by.issue(now, name)
	if err != nil {
		return err
	}
	var authorities []byte
	for _, a := range trust {
		authorities = append(authorities, block("CERTIFICATE", a.certificate.Raw)...)
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

// Replace replaces a file at once, as those who rotate certificates do.
func ReplaceFile(name string, text []byte) error {
	if err := os.WriteFile(name+".new", text, 0o600); err != nil {
		return err
	}
	return os.Rename(name+".new", name)
}

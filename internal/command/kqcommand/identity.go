package kqcommand

import (
	"time"

	"github.com/kumquatswitch/kumquatswitch/internal/core/kqresult"
	"github.com/kumquatswitch/kumquatswitch/internal/plumb/kqsettings"
	"github.com/kumquatswitch/kumquatswitch/internal/plumb/kqtls"
)

// tlsSettings holds the settings of mutual TLS.
type tlsSettings struct {
	certificate string
	key         string
	authorities string
}

func (t *tlsSettings) declare(s *kqsettings.Set) {
	s.Text(&t.certificate, "tls-certificate", "", "PEM file with the certificate of this process; empty means unencrypted connections")
	s.Text(&t.key, "tls-key", "", "PEM file with the private key of the certificate")
	s.Text(&t.authorities, "tls-authorities", "", "PEM file with the certificate authorities that sign the certificates of peers")
}

// load reads the files. onReload is called after each later reload, with the error if it failed, and
// may be nil.
func (t *tlsSettings) load(onReload func(err error)) (*kqtls.Identity, error) {
	loaded, err := kqtls.Load(kqtls.Config{Certificate: t.certificate, Key: t.key, Authorities: t.authorities, Now: time.Now, OnReload: onReload})
	if err != nil {
		return nil, kqresult.Errorf(kqresult.BadSettings, "tls: %v", err)
	}
	return loaded, nil
}

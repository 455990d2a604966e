package kqcommand

import (
	"time"

	"github.com/kumquatswitch/kumquatswitch/internal/core/kqresult"
	"github.com/kumquatswitch/kumquatswitch/internal/plumb/kqsettings"
	"github.com/kumquatswitch/kumquatswitch/internal/plumb/kqtls"
)

// identity is the settings of mutual TLS.
type identity struct {
	certificate string
	key         string
	authorities string
}

func (i *identity) declare(s *kqsettings.Set) {
	s.Text(&i.certificate, "tls-certificate", "", "PEM file with the certificate of this process; empty leaves connections unencrypted")
	s.Text(&i.key, "tls-key", "", "PEM file with the key of the certificate")
	s.Text(&i.authorities, "tls-authorities", "", "PEM file with the authorities that sign the certificates of peers")
}

// load reads the files; reloaded is told when they were read anew, and may be nil.
func (i *identity) load(reloaded func(err error)) (*kqtls.Identity, error) {
	out, err := kqtls.Load(kqtls.Config{Certificate: i.certificate, Key: i.key, Authorities: i.authorities, Now: time.Now, OnReload: reloaded})
	if err != nil {
		return nil, kqresult.Errorf(kqresult.BadSettings, "tls: %v", err)
	}
	return out, nil
}

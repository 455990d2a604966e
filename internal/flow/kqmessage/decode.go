package kqmessage

import (
	"slices"
	"strings"

	"github.com/rotisserie/eris"

	"github.com/kumquatswitch/kumquatswitch/internal/core/kqdecode"
)

// DecodeToOwner decodes a message to the owner without the entries that cannot be decoded. A report
// without one of its runs is not complete.
func DecodeToOwner(body []byte) (m ToOwner, omissions []kqdecode.Omission, err error) {
	omissions, err = kqdecode.Document(body, &m)
	if m.Report != nil && lacksEntry(omissions, "report.running") {
		m.Report.Complete = false
	}
	return m, omissions, err
}

// DecodeFromOwner decodes a message from the owner without the entries that cannot be decoded. The
// evacuated zones may not be left out: the owner's next grant would confirm those known before.
func DecodeFromOwner(body []byte) (m FromOwner, omissions []kqdecode.Omission, err error) {
	omissions, err = kqdecode.Document(body, &m)
	m.LacksOrders = lacksEntry(omissions, "orders")
	for _, o := range m.fillPayloads() {
		omissions = append(omissions, kqdecode.Omission{Path: "orders", Reason: "the payload of task " + o.Run.Task + " is missing"})
		m.LacksOrders = true
	}
	for _, o := range omissions {
		if o.Path == "zones" {
			return FromOwner{}, omissions, eris.New(o.String())
		}
	}
	return m, omissions, err
}

// lacksEntry reports whether an entry of a list was left out.
func lacksEntry(omissions []kqdecode.Omission, list string) bool {
	return slices.ContainsFunc(omissions, func(o kqdecode.Omission) bool { return strings.HasPrefix(o.Path, list+"[") })
}

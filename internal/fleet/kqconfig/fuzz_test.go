package kqconfig_test

import (
	"testing"

	"github.com/kumquatswitch/kumquatswitch/internal/fleet/kqconfig"
)

// FuzzDocuments checks that Parse returns documents or an error for any input, and that each
// document describes either a class or a quota.
func FuzzDocuments(f *testing.F) {
	for _, s := range []string{
		"class: lockdesk\nkind: latency_critical\nlatency: 250ms\npercentile: 99\nif_version: 0\n---\nclass: night\nkind: batch\nfinish_within: 8h\n",
		"quota: kaluvi\nprocessors: 12\nmemory: 4GiB\n",
		`{"class":"a","kind":"watcher"}`,
	} {
		f.Add([]byte(s))
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		docs, err := kqconfig.Parse(b)
		if (err == nil) != (len(docs) > 0) {
			t.Fatalf("%d documents, error %v", len(docs), err)
		}
		for _, d := range docs {
			if (d.Class == nil) == (d.Quota == nil) {
				t.Fatalf("%q is neither a class nor a quota, or both", d.Document.Key())
			}
		}
	})
}

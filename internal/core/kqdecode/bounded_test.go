package kqdecode_test

import (
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/kumquatswitch/kumquatswitch/internal/core/kqdecode"
)

// A document of a few bytes for each element has far more elements than its reader accepts. Guards against a reader that
// decodes them all before it counts them.
func TestAllElementsOfAListAreDecodedBeforeTheyAreCounted(t *testing.T) {
	const limit = 2
	for name, x := range map[string]struct {
		text   string
		strict bool
		err    string
		length int
	}{
		"as many as the limit": {text: `[{"name":"a"}, {"name":"b"} ]`, length: limit},
		"more":                 {text: `[` + strings.Repeat(`{},`, 1_000_000) + `not read`, err: "at most 2 elements"},
		"null":                 {text: `null`},
		"empty":                {text: `[]`},
		"no list":              {text: `{"name":"a"}`, err: "expected a list"},
		"an unknown field":     {text: `[{"other":1}]`, length: 1},
		"a strict list":        {text: `[{"other":1}]`, strict: true, err: "unknown field"},
		"an odd element":       {text: `[{"port":-1}]`, err: "port"},
		"an incomplete list":   {text: `[{}`, err: "EOF"},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			list, err := kqdecode.BoundedList[entry]([]byte(x.text), limit, x.strict)
			if x.err != "" {
				g.Expect(err).To(MatchError(ContainSubstring(x.err)))
				return
			}
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(list).To(HaveLen(x.length))
		})
	}
}

package kqdecode_test

import (
	"encoding/json"
	"reflect"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/kumquatswitch/kumquatswitch/internal/core/kqdecode"
)

type entry struct {
	Name string `json:"name"`
	Port uint16 `json:"port"`
}

type document struct {
	Version uint64            `json:"version"`
	Entries []entry           `json:"entries"`
	Extra   *entry            `json:"extra"`
	Counts  map[string]uint64 `json:"counts"`
}

// nested returns a list that is nested deeper than the decoder of the standard library allows.
func nested() string { return strings.Repeat("[", 20_000) + strings.Repeat("]", 20_000) }

// Guards against a list of which nothing can be read because of one entry of another writer.
func TestOneOddEntryMakesAListUnreadable(t *testing.T) {
	good := `{"name":"a","port":1}`
	for name, text := range map[string]string{
		"deeply nested":          `{"name":"x","port":` + nested() + `}`,
		"deeply nested, unknown": nested(),
		"number too large":       `{"name":"x","port":1e999}`,
		"port out of range":      `{"name":"x","port":70000}`,
		"another type":           `{"name":["x"]}`,
		"brackets in text":       `{"name":"[{\"\\","port":-1}`,
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			var d document
			omissions, err := kqdecode.Document([]byte(`{"version":3,"entries":[`+good+`,`+text+`,`+good+`],"extra":`+text+`,"counts":{"a":1,"b":`+text+`}}`), &d)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(d).To(Equal(document{Version: 3, Entries: []entry{{"a", 1}, {"a", 1}}, Counts: map[string]uint64{"a": 1}}))
			g.Expect(omissions).To(HaveLen(3))
			g.Expect(omissions[0].Path).To(Equal("entries[1]"))
			g.Expect(len(omissions[0].String())).To(BeNumerically("<", 250))
		})
	}
}

// An unreadable part that no list contains must not be taken for a zero value.
func TestADocumentWithoutItsVersionIsAnError(t *testing.T) {
	g := NewWithT(t)
	for _, text := range []string{`{"version":-1}`, `{"version":` + nested() + `}`, `{`, ``, `[]`, `{"entries":{}}`, nested() + `]`} {
		_, err := kqdecode.Document([]byte(text), &document{})
		g.Expect(err).To(HaveOccurred(), text[:min(len(text), 40)])
	}
	var d document
	omissions, err := kqdecode.Document([]byte(`{"Version":3,"unknown":`+nested()+`}`), &d)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(omissions).To(HaveLen(1))
	g.Expect(d.Version).To(Equal(uint64(3)))
}

func TestAListIsDecodedElementByElement(t *testing.T) {
	g := NewWithT(t)
	list, omissions, err := kqdecode.List[entry]([]byte(`[{"name":"a"},` + nested() + `,{"port":70000},{"name":"b"}]`))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(list).To(Equal([]entry{{Name: "a"}, {Name: "b"}}))
	g.Expect(omissions).To(HaveLen(2))
	for _, text := range []string{`{}`, ``, `[`, `[],"x":[]`, nested() + `]`} {
		_, _, err := kqdecode.List[entry]([]byte(text))
		g.Expect(err).To(HaveOccurred(), text[:min(len(text), 40)])
	}
}

// FuzzDocument checks that a document decodes as json.Unmarshal decodes it if that succeeds.
func FuzzDocument(f *testing.F) {
	for _, s := range []string{`{"version":1,"entries":[{"name":"a","port":1},{"port":70000}],"extra":null,"counts":{"a":-1}}`, nested(), `{"entries":["\"]`, `{"a":"\\\\"}`} {
		f.Add([]byte(s))
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		var want, got document
		wantErr := json.Unmarshal(b, &want)
		omissions, err := kqdecode.Document(b, &got)
		if wantErr == nil && (err != nil || len(omissions) > 0 || !reflect.DeepEqual(got, want)) {
			t.Fatalf("%q: got %v, omissions %v, error %v, expected %v", b, got, omissions, err, want)
		}
		if wantErr != nil && err == nil && len(omissions) == 0 {
			t.Fatalf("%q: an entry was left out without an omission", b)
		}
	})
}

package kqtoken_test

import (
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/kumquatswitch/kumquatswitch/internal/plumb/kqtoken"
)

const (
	first  = "first-token-of-operators"
	second = "second-token-of-operators"
)

func request(authorization string) *http.Request {
	q := httptest.NewRequest(http.MethodGet, "/v1/config", nil)
	if authorization != "" {
		q.Header.Set("Authorization", authorization)
	}
	return q
}

// Guards against requests that are permitted with part of a token, with another scheme or while
// the file does not exist.
func TestOnlyTheTokensOfTheFilePermit(t *testing.T) {
	g := NewWithT(t)
	f := kqtoken.File{Path: filepath.Join(t.TempDir(), "token")}
	g.Expect(f.Validate()).NotTo(Succeed(), "the file does not exist")
	g.Expect(f.Permits(request("Bearer "))).To(BeFalse())
	g.Expect(os.WriteFile(f.Path, []byte(first+"\n"), 0o600)).To(Succeed())
	g.Expect(f.Validate()).To(Succeed())
	for _, wrong := range []string{"", "Bearer", "Bearer ", "Bearer " + second, "Bearer " + first[:len(first)-1], "Basic " + first, first} {
		g.Expect(f.Permits(request(wrong))).To(BeFalse(), wrong)
	}
	q := request("")
	g.Expect(f.AddToken(q)).To(Succeed())
	g.Expect(f.Permits(q)).To(BeTrue())
}

// The file holds both tokens while one replaces the other. Guards against refused operators who
// still use the old token or already use the new one.
func TestATokenIsReplacedWithoutARefusal(t *testing.T) {
	g := NewWithT(t)
	f := kqtoken.File{Path: filepath.Join(t.TempDir(), "token")}
	for _, x := range []struct {
		text          string
		first, second bool
	}{{first, true, false}, {first + "\n" + second, true, true}, {second + "\n" + first, true, true}, {second, false, true}} {
		g.Expect(os.WriteFile(f.Path, []byte(x.text), 0o600)).To(Succeed())
		g.Expect(f.Permits(request("Bearer "+first))).To(Equal(x.first), x.text)
		g.Expect(f.Permits(request("Bearer "+second))).To(Equal(x.second), x.text)
	}
}

// Guards against an empty or too short token in the file that permits every request.
func TestAWrongFilePermitsNothing(t *testing.T) {
	g := NewWithT(t)
	f := kqtoken.File{Path: filepath.Join(t.TempDir(), "token")}
	for _, text := range []string{"", "\n", "short", first + " short"} {
		g.Expect(os.WriteFile(f.Path, []byte(text), 0o600)).To(Succeed())
		g.Expect(f.Validate()).NotTo(Succeed(), text)
		g.Expect(f.AddToken(request(""))).NotTo(Succeed(), text)
		g.Expect(f.Permits(request("Bearer "+first))).To(BeFalse(), text)
		g.Expect(f.Permits(request("Bearer short"))).To(BeFalse(), text)
	}
	g.Expect(kqtoken.File{}.Permits(request(""))).To(BeTrue(), "no file is configured")
	g.Expect(kqtoken.File{}.Validate()).To(Succeed())
}

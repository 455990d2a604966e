// Package kqtoken guards what operators do by a token that they share with the
// entries. Its file is read for each request, so that it can be replaced without
// a restart.
package kqtoken

import (
	"bytes"
	"crypto/subtle"
	"net/http"
	"os"
	"strings"

	"github.com/rotisserie/eris"
)

const (
	header = "Authorization"
	scheme = "Bearer "
	// leastLength is the shortest token that is taken, in bytes.
	leastLength = 16
)

// File holds one token, or two on lines of their own while one replaces the
// other. The zero value guards nothing.
type File struct {
	// Name is the path of the file.
	Path string
}

// tokens reads the file.
func (f File) tokens() ([][]byte, error) {
	b, err := os.ReadFile(f.Path)
	if err != nil {
		return nil, eris.Wrap(err, "token")
	}
	out := bytes.Fields(b)
	if len(out) == 0 {
		return nil, eris.Errorf("token: no token in %s", f.Path)
	}
	for _, t := range out {
		if len(t) < leastLength {
			return nil, eris.Errorf("token: expected %d bytes or more in %s, got %d", leastLength, f.Path, len(t))
		}
	}
	return out, nil
}

// Check reads the file and returns what is wrong with it.
func (f File) Validate() error {
	if f.Path == "" {
		return nil
	}
	_, err := f.tokens()
	return err
}

// Sign adds the first token to a request.
func (f File) AddToken(q *http.Request) error {
	if f.Path == "" {
		return nil
	}
	ts, err := f.tokens()
	if err != nil {
		return err
	}
	q.Header.Set(header, scheme+string(ts[0]))
	return nil
}

// Permits reports whether a request carries one of the tokens. A file that cannot
// be read permits nothing.
func (f File) Permits(q *http.Request) bool {
	if f.Path == "" {
		return true
	}
	ts, err := f.tokens()
	shown, ok := strings.CutPrefix(q.Header.Get(header), scheme)
	if err != nil || !ok {
		return false
	}
	found := 0
	for _, t := range ts {
		found |= subtle.ConstantTimeCompare(t, []byte(shown))
	}
	return found == 1
}

// Package kqtoken authorizes operator requests by a token that operators share with the entries.
// The token file is read for each request, so that the token can be replaced without a restart.
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
	// minTokenBytes is the minimum length of a token.
	minTokenBytes = 16
)

// File is a file with a token, or with two tokens, separated by white space, while one replaces
// the other. The zero value permits every request.
type File struct {
	// Path is the path of the file; if it is empty, no token is required.
	Path string
}

// tokens reads the file and returns its tokens. It returns an error if there are none or if one
// is too short.
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
		if len(t) < minTokenBytes {
			return nil, eris.Errorf("token: expected %d bytes or more in %s, got %d", minTokenBytes, f.Path, len(t))
		}
	}
	return out, nil
}

// Validate reads the file and returns an error if its tokens are not valid.
func (f File) Validate() error {
	if f.Path == "" {
		return nil
	}
	_, err := f.tokens()
	return err
}

// AddToken adds the first token to a request.
func (f File) AddToken(q *http.Request) error {
	if f.Path == "" {
		return nil
	}
	tokens, err := f.tokens()
	if err != nil {
		return err
	}
	q.Header.Set(header, scheme+string(tokens[0]))
	return nil
}

// Permits reports whether a request has one of the tokens. If the file is not valid, no request
// is permitted.
func (f File) Permits(q *http.Request) bool {
	if f.Path == "" {
		return true
	}
	tokens, err := f.tokens()
	token, ok := strings.CutPrefix(q.Header.Get(header), scheme)
	if err != nil || !ok {
		return false
	}
	matched := 0
	for _, t := range tokens {
		matched |= subtle.ConstantTimeCompare(t, []byte(token))
	}
	return matched == 1
}

// Package position defines replication log positions and the session tokens that
// carry them between hosts.
package position

import (
	"encoding/base64"
	"errors"
	"fmt"
	"sort"
	"strconv"
	"strings"
)

// Position is a position in a database group's log: the index of a log entry and
// the term in which the entry was written. Positions are ordered by term, then by
// index. Two logs whose last entries have the same term are identical up to the
// lower index.
type Position struct {
	Term  uint64
	Index uint64
}

// ErrSyntax reports a position or token that cannot be parsed.
var ErrSyntax = errors.New("position: invalid syntax")

// Compare returns -1, 0 or 1 if p is before, equal to or after q.
func (p Position) Compare(q Position) int {
	switch {
	case p.Term < q.Term, p.Term == q.Term && p.Index < q.Index:
		return -1
	case p == q:
		return 0
	default:
		return 1
	}
}

// Before reports whether p is before q.
func (p Position) Before(q Position) bool { return p.Compare(q) < 0 }

// IsZero reports whether p is the start of a log, before its first entry.
func (p Position) IsZero() bool { return p == Position{} }

// Max returns the later of p and q.
func Max(p, q Position) Position {
	if p.Before(q) {
		return q
	}
	return p
}

// String returns "term/index".
func (p Position) String() string {
	return strconv.FormatUint(p.Term, 10) + "/" + strconv.FormatUint(p.Index, 10)
}

// Parse parses the format of String. Its error wraps ErrSyntax.
func Parse(s string) (Position, error) {
	t, i, ok := strings.Cut(s, "/")
	if !ok {
		return Position{}, fmt.Errorf("%w: position %q is not term/index", ErrSyntax, s)
	}
	term, err := strconv.ParseUint(t, 10, 64)
	if err != nil {
		return Position{}, fmt.Errorf("%w: term %q is not an unsigned integer", ErrSyntax, t)
	}
	index, err := strconv.ParseUint(i, 10, 64)
	if err != nil {
		return Position{}, fmt.Errorf("%w: index %q is not an unsigned integer", ErrSyntax, i)
	}
	return Position{Term: term, Index: index}, nil
}

// MaxTokenGroups bounds the number of groups in one token.
const MaxTokenGroups = 16

// Token is a session's floors: for each database group that the session has used,
// the position that a database must have reached to serve its reads. It is not
// safe for concurrent use.
type Token struct {
	floors map[string]Position
}

// Floor returns the floor of group, or zero if the token has none.
func (t *Token) Floor(group string) Position { return t.floors[group] }

// Raise raises the floor of group to p; it never lowers it. It returns false if
// the token is full and has no floor for group: reads of that group must then be
// fresh reads.
func (t *Token) Raise(group string, p Position) bool {
	if t.floors == nil {
		t.floors = make(map[string]Position, 1)
	}
	old, ok := t.floors[group]
	if !ok && len(t.floors) >= MaxTokenGroups {
		return false
	}
	t.floors[group] = Max(old, p)
	return true
}

// Encode returns the token as base64url text, empty for an empty token.
func (t *Token) Encode() string {
	if len(t.floors) == 0 {
		return ""
	}
	parts := make([]string, 0, len(t.floors))
	for g, p := range t.floors {
		parts = append(parts, g+"="+p.String())
	}
	sort.Strings(parts)
	return base64.RawURLEncoding.EncodeToString([]byte(strings.Join(parts, ";")))
}

// ParseToken parses the format of Encode. Its error wraps ErrSyntax.
func ParseToken(s string) (*Token, error) {
	t := &Token{}
	if s == "" {
		return t, nil
	}
	raw, err := base64.RawURLEncoding.DecodeString(s)
	if err != nil {
		return nil, fmt.Errorf("%w: token is not base64url", ErrSyntax)
	}
	for _, part := range strings.Split(string(raw), ";") {
		group, pos, ok := strings.Cut(part, "=")
		if !ok || group == "" {
			return nil, fmt.Errorf("%w: token entry is not group=position", ErrSyntax)
		}
		p, err := Parse(pos)
		if err != nil {
			return nil, err
		}
		if !t.Raise(group, p) {
			return nil, fmt.Errorf("%w: token has more than %d groups", ErrSyntax, MaxTokenGroups)
		}
	}
	return t, nil
}

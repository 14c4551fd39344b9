package tomlread

import (
	"fmt"
	"math"
	"strings"
	"time"
)

// Text describes the strings that a key may hold.
type Text struct {
	Allowed string            // in words, for faults
	Valid   func(string) bool // nil allows every string
}

// OneOf allows only the given words.
func OneOf(words ...string) Text {
	return Text{
		Allowed: "one of " + strings.Join(words, ", "),
		Valid: func(s string) bool {
			for _, w := range words {
				if s == w {
					return true
				}
			}
			return false
		},
	}
}

// String returns the string under key, def if there is none or it is invalid. The
// default itself is not checked.
func (t *Table) String(key, def string, text Text) string {
	v, ok := t.get(key)
	if !ok {
		return def
	}
	s, isString := v.(string)
	if !isString || text.Valid != nil && !text.Valid(s) {
		t.Fault(key, describe(v), text.allowed())
		return def
	}
	return s
}

// Required is String for a key that must be present. It returns "" if the key is
// missing or its value is invalid.
func (t *Table) Required(key string, text Text) string {
	if !t.Has(key) {
		t.known[key] = true
		t.Fault(key, "nothing", text.allowed())
		return ""
	}
	return t.String(key, "", text)
}

func (x Text) allowed() string {
	if x.Allowed == "" {
		return "a string"
	}
	return x.Allowed
}

// Strings returns the valid strings of the array under key, nil when there are
// none.
func (t *Table) Strings(key string, text Text) []string {
	v, ok := t.get(key)
	if !ok {
		return nil
	}
	list, isList := v.([]any)
	if !isList {
		t.Fault(key, describe(v), "an array of strings")
		return nil
	}
	var out []string
	for i, item := range list {
		s, isString := item.(string)
		if !isString || text.Valid != nil && !text.Valid(s) {
			t.Fault(fmt.Sprintf("%s[%d]", key, i), describe(item), text.allowed())
			continue
		}
		out = append(out, s)
	}
	return out
}

// Bool returns the boolean under key, def when there is none or it is invalid.
func (t *Table) Bool(key string, def bool) bool {
	v, ok := t.get(key)
	if !ok {
		return def
	}
	b, isBool := v.(bool)
	if !isBool {
		t.Fault(key, describe(v), "true or false")
		return def
	}
	return b
}

// Int returns the integer under key, def when there is none or it is invalid. It
// must lie between lo and hi, both included.
func (t *Table) Int(key string, def, lo, hi int) int {
	v, ok := t.get(key)
	if !ok {
		return def
	}
	n, isInt := v.(int64)
	if !isInt || n < int64(lo) || n > int64(hi) {
		t.Fault(key, describe(v), fmt.Sprintf("a whole number from %d to %d", lo, hi))
		return def
	}
	return int(n)
}

// Float returns the number under key, def when there is none or it is invalid. It
// must lie between lo and hi, both included.
func (t *Table) Float(key string, def, lo, hi float64) float64 {
	v, ok := t.get(key)
	if !ok {
		return def
	}
	var f float64
	switch x := v.(type) {
	case float64:
		f = x
	case int64:
		f = float64(x)
	default:
		f = math.NaN()
	}
	if !(f >= lo && f <= hi) {
		t.Fault(key, describe(v), fmt.Sprintf("a number from %g to %g", lo, hi))
		return def
	}
	return f
}

// Duration returns the duration under key, written as a string such as "250ms",
// def when there is none or it is invalid. It must lie between lo and hi, both
// included.
func (t *Table) Duration(key string, def, lo, hi time.Duration) time.Duration {
	v, ok := t.get(key)
	if !ok {
		return def
	}
	s, _ := v.(string)
	d, err := time.ParseDuration(s)
	if err != nil || d < lo || d > hi {
		t.Fault(key, describe(v), fmt.Sprintf("a duration such as \"250ms\", from %s to %s", lo, hi))
		return def
	}
	return d
}

// Secret returns the string under key, "" when there is none or it is invalid. Its
// faults do not show the value.
func (t *Table) Secret(key string) string {
	v, ok := t.get(key)
	if !ok {
		return ""
	}
	s, isString := v.(string)
	if !isString {
		t.Fault(key, "a value that is not a string", "a string")
	}
	return s
}

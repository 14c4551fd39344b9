package caller

import (
	"net/url"
	"strings"
)

// Tags are what a request says of itself in a leading comment in the
// sqlcommenter form: key='value' pairs with URL-encoded values.
type Tags struct {
	Request   string // the request's name in the contract
	RequestID string // identifies repeats of a request that runs at most once
	Token     string // session token that this read must not precede
}

// ParseTags reads the leading comment of sql. Pairs that cannot be parsed are
// ignored, so that an unnamed request gets the safest treatment.
func ParseTags(sql string) Tags {
	sql = strings.TrimLeft(sql, " \t\r\n")
	if !strings.HasPrefix(sql, "/*") {
		return Tags{}
	}
	body, _, ok := strings.Cut(sql[2:], "*/")
	if !ok {
		return Tags{}
	}
	var t Tags
	for _, pair := range strings.Split(body, ",") {
		key, value, ok := strings.Cut(strings.TrimSpace(pair), "=")
		if !ok || len(value) < 2 || value[0] != '\'' || value[len(value)-1] != '\'' {
			continue
		}
		text, err := url.QueryUnescape(value[1 : len(value)-1])
		if err != nil {
			continue
		}
		t.set(key, text)
	}
	return t
}

func (t *Tags) set(key, value string) {
	switch key {
	case "request":
		t.Request = value
	case "request_id":
		t.RequestID = value
	case "token":
		t.Token = value
	}
}

// maxWords is how many leading words of a statement are kept.
const maxWords = 4

// Statement is one statement of a query, by its leading words in upper case.
type Statement struct {
	Words  []string // up to four
	Calls  []string // names anywhere in it, lower case, that leave session state
	Writes bool     // holds a word anywhere that changes data or its shape

	last string // the word before, upper case
}

// Is reports whether the statement begins with the given words.
func (s Statement) Is(words ...string) bool {
	if len(s.Words) < len(words) {
		return false
	}
	for i, w := range words {
		if s.Words[i] != w {
			return false
		}
	}
	return true
}

// Split returns the statements of a query. It understands quotes, dollar
// quotes and comments, and leaves out empty statements.
func Split(sql string) []Statement {
	var all []Statement
	var cur Statement
	for i := 0; i < len(sql); {
		n := skip(sql[i:])
		switch {
		case n > 0:
			if sql[i] == '"' {
				cur.quoted(sql[max(i-2, 0):i], sql[i:i+n])
			}
			i += n
		case sql[i] == ';':
			all = appendStatement(all, cur)
			cur = Statement{}
			i++
		case isWord(sql[i]):
			end := i + wordLen(sql[i:])
			cur.add(sql[i:end])
			i = end + escapedString(sql[i:end], sql[end:])
		default:
			if len(cur.Words) == 0 {
				cur.Words = append(cur.Words, sql[i:i+1])
			}
			i++
		}
	}
	return appendStatement(all, cur)
}

func appendStatement(all []Statement, s Statement) []Statement {
	if len(s.Words) == 0 {
		return all
	}
	return append(all, s)
}

func (s *Statement) add(word string) {
	upper := strings.ToUpper(word)
	if len(s.Words) < maxWords {
		s.Words = append(s.Words, upper)
	}
	s.note(strings.ToLower(word))
	if intoTemp := s.last == "INTO" && (upper == "TEMP" || upper == "TEMPORARY"); intoTemp && s.Words[0] != "INSERT" {
		s.Calls = append(s.Calls, "into temp")
	}
	s.Writes = s.Writes || writing[upper]
	s.last = upper
}

// quoted notes a name in double quotes, which is a name as any other. before
// is what stands in front of it.
func (s *Statement) quoted(before, text string) {
	if strings.EqualFold(before, "U&") { // its escapes may spell any name
		s.Calls = append(s.Calls, "u&")
	}
	s.note(strings.Trim(text, `"`))
}

func (s *Statement) note(name string) {
	if setsSession(name) {
		s.Calls = append(s.Calls, name)
	}
}

// writing are the words of statements that change data or its shape.
var writing = map[string]bool{
	"INSERT": true, "UPDATE": true, "DELETE": true, "MERGE": true,
	"TRUNCATE": true, "CREATE": true, "ALTER": true, "DROP": true, "INTO": true,
}

// sessionPrefixes begin the names that leave state on their connection.
var sessionPrefixes = []string{
	"set_config", "setseed", "dblink_connect", "pg_advisory_lock", "pg_try_advisory_lock", "pg_temp",
}

// setsSession reports whether a name leaves state on its connection.
func setsSession(name string) bool {
	for _, p := range sessionPrefixes {
		if strings.HasPrefix(name, p) {
			return true
		}
	}
	return false
}

// escapedString returns the length of the quoted text that rest begins with
// when word is the E of an escape string, where a backslash escapes a quote. A
// quote on a later line goes on with the same string.
func escapedString(word, rest string) int {
	if (word != "E" && word != "e") || rest == "" || rest[0] != '\'' {
		return 0
	}
	for i := 1; i < len(rest); i++ {
		switch rest[i] {
		case '\\':
			i++
		case '\'':
			n := continued(rest[i+1:])
			if n == 0 {
				return i + 1
			}
			i += n
		}
	}
	return len(rest)
}

// continued returns the length of the space, comments and opening quote with
// which s goes on with a string that was just closed, 0 when it does not.
func continued(s string) int {
	line := false
	for i := 0; i < len(s); {
		switch {
		case s[i] == '\'' && line:
			return i + 1
		case isSpace(s[i]):
			line = line || s[i] == '\n' || s[i] == '\r'
			i++
		case strings.HasPrefix(s[i:], "--"):
			i += lineComment(s[i:])
			line = true
		default:
			return 0
		}
	}
	return 0
}

// wordLen returns the length of the word or number that s begins with. A name
// may hold a dollar sign, a number may not.
func wordLen(s string) int {
	number := s[0] >= '0' && s[0] <= '9'
	n := 0
	for n < len(s) && (isWord(s[n]) || s[n] == '$') {
		if number && (s[n] < '0' || s[n] > '9') {
			break
		}
		n++
	}
	return n
}

func isSpace(b byte) bool {
	return b == ' ' || b >= '\t' && b <= '\r'
}

// lineComment returns the length of the comment that s begins with; either
// line break ends it.
func lineComment(s string) int {
	if i := strings.IndexAny(s, "\r\n"); i >= 0 {
		return i + 1
	}
	return len(s)
}

func isWord(b byte) bool {
	return b == '_' || b >= '0' && b <= '9' || b >= 'a' && b <= 'z' || b >= 'A' && b <= 'Z' || b >= 0x80
}

// skip returns the length of the space, comment or quoted text that s begins
// with, 0 for none.
func skip(s string) int {
	switch {
	case isSpace(s[0]):
		return 1
	case strings.HasPrefix(s, "--"):
		return lineComment(s)
	case strings.HasPrefix(s, "/*"):
		return skipComment(s)
	case s[0] == '\'' || s[0] == '"':
		return through(s, s[:1], 1)
	case s[0] == '$':
		return skipDollar(s)
	}
	return 0
}

// skipComment skips a block comment; they nest.
func skipComment(s string) int {
	depth := 0
	for i := 0; i < len(s)-1; i++ {
		switch s[i : i+2] {
		case "/*":
			depth++
			i++
		case "*/":
			depth--
			i++
			if depth == 0 {
				return i + 1
			}
		}
	}
	return len(s)
}

// through returns the length of s up to the end of the first end after from,
// or all of s.
func through(s, end string, from int) int {
	i := strings.Index(s[from:], end)
	if i < 0 {
		return len(s)
	}
	return from + i + len(end)
}

// skipDollar skips $tag$...$tag$; a parameter such as $1 is not one.
func skipDollar(s string) int {
	i := 1
	for i < len(s) && isWord(s[i]) {
		i++
	}
	if i >= len(s) || s[i] != '$' || i > 1 && s[1] >= '0' && s[1] <= '9' {
		return 1
	}
	return through(s, s[:i+1], i+1)
}

package caller

import (
	"net/url"
	"strings"
)

// Tags are the attributes of a request in a leading SQL comment in sqlcommenter
// format: key='value' pairs with URL-encoded values.
type Tags struct {
	Request   string // name of the request in the contract
	RequestID string // identifies repetitions of a request that runs at most once
	Token     string // session token; a read must see at least its position
}

// ParseTags reads the leading comment of sql. Pairs that cannot be parsed are
// ignored. A request without a valid name is treated as a write that must not be
// repeated.
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

// maxWords is the maximum number of leading words of a statement that are kept.
const maxWords = 4

// Statement describes one statement of a query.
type Statement struct {
	Words          []string // up to four leading words, upper case; a first character that begins no word counts as one
	SessionEffects []string // names in the statement, lower case, that set session state; "into temp" for SELECT INTO TEMP, "u&" for a name with Unicode escapes
	Writes         bool     // contains a keyword that changes data or its schema

	prevWord string // previous word, upper case
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

// Split returns the statements of a query. It handles quotes, dollar quotes and
// comments, and omits empty statements.
func Split(sql string) []Statement {
	var all []Statement
	var cur Statement
	for i := 0; i < len(sql); {
		n := skip(sql[i:])
		switch {
		case n > 0:
			if sql[i] == '"' {
				cur.addQuoted(sql[max(i-2, 0):i], sql[i:i+n])
			}
			i += n
		case sql[i] == ';':
			all = appendStatement(all, cur)
			cur = Statement{}
			i++
		case isWord(sql[i]):
			end := i + wordLen(sql[i:])
			cur.add(sql[i:end])
			i = end + escapeStringLen(sql[i:end], sql[end:])
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
	s.recordName(strings.ToLower(word))
	if intoTemp := s.prevWord == "INTO" && (upper == "TEMP" || upper == "TEMPORARY"); intoTemp && s.Words[0] != "INSERT" {
		s.SessionEffects = append(s.SessionEffects, "into temp")
	}
	s.Writes = s.Writes || writeWords[upper]
	s.prevWord = upper
}

// addQuoted records an identifier in double quotes, which counts like an unquoted
// one. before is the up to two bytes that precede it.
func (s *Statement) addQuoted(before, text string) {
	if strings.EqualFold(before, "U&") { // its Unicode escapes can encode any name
		s.SessionEffects = append(s.SessionEffects, "u&")
	}
	s.recordName(strings.Trim(text, `"`))
}

func (s *Statement) recordName(name string) {
	if setsSessionState(name) {
		s.SessionEffects = append(s.SessionEffects, name)
	}
}

// writeWords are the keywords of statements that change data or its schema.
var writeWords = map[string]bool{
	"INSERT": true, "UPDATE": true, "DELETE": true, "MERGE": true,
	"TRUNCATE": true, "CREATE": true, "ALTER": true, "DROP": true, "INTO": true,
}

// sessionStatePrefixes are the prefixes of names that set state on the
// connection to the database.
var sessionStatePrefixes = []string{
	"set_config", "setseed", "dblink_connect", "pg_advisory_lock", "pg_try_advisory_lock", "pg_temp",
}

// setsSessionState reports whether a name sets state on the connection to the
// database.
func setsSessionState(name string) bool {
	for _, p := range sessionStatePrefixes {
		if strings.HasPrefix(name, p) {
			return true
		}
	}
	return false
}

// escapeStringLen returns the length of the quoted text that rest begins with
// when word is the E of an escape string, where a backslash escapes a quote, and
// 0 otherwise. A quote on a later line continues the same string.
func escapeStringLen(word, rest string) int {
	if (word != "E" && word != "e") || rest == "" || rest[0] != '\'' {
		return 0
	}
	for i := 1; i < len(rest); i++ {
		switch rest[i] {
		case '\\':
			i++
		case '\'':
			n := continuationLen(rest[i+1:])
			if n == 0 {
				return i + 1
			}
			i += n
		}
	}
	return len(rest)
}

// continuationLen returns the length of the white space, comments and opening
// quote with which s continues a string that was just closed, or 0 when s does
// not continue it. PostgreSQL requires a line break in between.
func continuationLen(s string) int {
	newline := false
	for i := 0; i < len(s); {
		switch {
		case s[i] == '\'' && newline:
			return i + 1
		case isSpace(s[i]):
			newline = newline || s[i] == '\n' || s[i] == '\r'
			i++
		case strings.HasPrefix(s[i:], "--"):
			i += lineComment(s[i:])
			newline = true
		default:
			return 0
		}
	}
	return 0
}

// wordLen returns the length of the word or number that s begins with. A name
// may contain a dollar sign, a number may not.
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

// lineComment returns the length of the line comment that s begins with. A
// carriage return or a line feed ends it.
func lineComment(s string) int {
	if i := strings.IndexAny(s, "\r\n"); i >= 0 {
		return i + 1
	}
	return len(s)
}

func isWord(b byte) bool {
	return b == '_' || b >= '0' && b <= '9' || b >= 'a' && b <= 'z' || b >= 'A' && b <= 'Z' || b >= 0x80
}

// skip returns the length of the white space, comment or quoted text that s
// begins with, or 0 for none.
func skip(s string) int {
	switch {
	case isSpace(s[0]):
		return 1
	case strings.HasPrefix(s, "--"):
		return lineComment(s)
	case strings.HasPrefix(s, "/*"):
		return skipComment(s)
	case s[0] == '\'' || s[0] == '"':
		return lengthThrough(s, s[:1], 1)
	case s[0] == '$':
		return skipDollar(s)
	}
	return 0
}

// skipComment returns the length of the block comment that s begins with. Block
// comments nest.
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

// lengthThrough returns the length of s up to and including the first occurrence
// of end at or after from, or len(s) when there is none.
func lengthThrough(s, end string, from int) int {
	i := strings.Index(s[from:], end)
	if i < 0 {
		return len(s)
	}
	return from + i + len(end)
}

// skipDollar returns the length of the dollar-quoted text $tag$...$tag$ that s
// begins with, or 1 for any other dollar sign, such as that of parameter $1.
func skipDollar(s string) int {
	i := 1
	for i < len(s) && isWord(s[i]) {
		i++
	}
	if i >= len(s) || s[i] != '$' || i > 1 && s[1] >= '0' && s[1] <= '9' {
		return 1
	}
	return lengthThrough(s, s[:i+1], i+1)
}

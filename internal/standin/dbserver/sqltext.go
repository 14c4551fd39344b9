package dbserver

import (
	"strings"
)

// quotedOrCommentLen returns the length of the quoted text or comment at the
// start of s, 0 if there is none. s must not be empty.
func quotedOrCommentLen(s string) int {
	switch {
	case s[0] == '\'' || s[0] == '"':
		return quotedLen(s)
	case strings.HasPrefix(s, "--"):
		if i := strings.IndexByte(s, '\n'); i >= 0 {
			return i + 1
		}
		return len(s)
	case strings.HasPrefix(s, "/*"):
		if i := strings.Index(s[2:], "*/"); i >= 0 {
			return i + 4
		}
		return len(s)
	}
	return 0
}

// quotedLen returns the length of the quoted text at the start of s with its
// quotes, or of s if the closing quote is missing. A doubled quote does not end it.
func quotedLen(s string) int {
	for i := 1; i < len(s); i++ {
		if s[i] != s[0] {
			continue
		}
		if i+1 < len(s) && s[i+1] == s[0] {
			i++
			continue
		}
		return i + 1
	}
	return len(s)
}

// split returns the non-empty statements of a simple query.
func split(sql string) []string {
	var parts []string
	start := 0
	add := func(end int) {
		if part := sql[start:end]; trimLeading(part) != "" {
			parts = append(parts, part)
		}
		start = end + 1
	}
	for i := 0; i < len(sql); {
		if n := quotedOrCommentLen(sql[i:]); n > 0 {
			i += n
			continue
		}
		if sql[i] == ';' {
			add(i)
		}
		i++
	}
	if start < len(sql) {
		add(len(sql))
	}
	return parts
}

// trimLeading returns sql without leading comments and surrounding white space.
func trimLeading(sql string) string {
	for {
		sql = strings.TrimSpace(sql)
		if !strings.HasPrefix(sql, "--") && !strings.HasPrefix(sql, "/*") {
			return sql
		}
		sql = sql[quotedOrCommentLen(sql):]
	}
}

// rewrite converts PostgreSQL's parameters ($1) to SQLite's (?1) and removes type
// casts (::int) outside quotes and comments, and a trailing row lock (FOR
// UPDATE).
func rewrite(sql string) string {
	var b strings.Builder
	for i := 0; i < len(sql); {
		n := quotedOrCommentLen(sql[i:])
		switch {
		case n > 0:
			b.WriteString(sql[i : i+n])
			i += n
		case sql[i] == '$' && i+1 < len(sql) && isDigit(sql[i+1]):
			b.WriteByte('?')
			i++
		case strings.HasPrefix(sql[i:], "::"):
			i += 2 + identLen(sql[i+2:])
		default:
			b.WriteByte(sql[i])
			i++
		}
	}
	return dropRowLock(b.String())
}

func dropRowLock(sql string) string {
	trimmed := strings.TrimRight(sql, " \t\n")
	for _, suffix := range []string{" for update", " for share", " for no key update"} {
		cut := len(trimmed) - len(suffix)
		if cut > 0 && strings.EqualFold(trimmed[cut:], suffix) {
			return trimmed[:cut]
		}
	}
	return sql
}

func identLen(s string) int {
	n := 0
	for n < len(s) && (isLetter(s[n]) || n > 0 && isDigit(s[n])) {
		n++
	}
	return n
}

func isDigit(c byte) bool { return c >= '0' && c <= '9' }

func isLetter(c byte) bool { return c == '_' || c|0x20 >= 'a' && c|0x20 <= 'z' }

// words returns up to n leading words of sql in upper case, without comments.
// A word is an identifier; any other character ends the list.
func words(sql string, n int) []string {
	rest := trimLeading(sql)
	var list []string
	for len(list) < n {
		l := identLen(rest)
		if l == 0 {
			break
		}
		list = append(list, strings.ToUpper(rest[:l]))
		rest = trimLeading(rest[l:])
		if rest == "" {
			break
		}
	}
	return list
}

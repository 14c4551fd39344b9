package dbserver

import (
	"errors"
	"fmt"
	"strings"

	"github.com/jackc/pgx/v5/pgproto3"
	"zombiezen.com/go/sqlite"
)

// The SQLSTATEs that the server reports.
const (
	codeProtocol       = "08P01"
	codeNotSupported   = "0A000"
	codeNotNull        = "23502"
	codeForeignKey     = "23503"
	codeUnique         = "23505"
	codeCheck          = "23514"
	codeReadOnly       = "25006"
	codeNoTx           = "25P01"
	codeFailedTx       = "25P02"
	codeIdleTx         = "25P03"
	codeNoStatement    = "26000"
	codeBadPassword    = "28P01"
	codeNoPortal       = "34000"
	codeConflict       = "40001"
	codeSyntax         = "42601"
	codeUndefinedTable = "42P01"
	codeUndefinedCol   = "42703"
	codeDuplicateTable = "42P07"
	codeTooManyConns   = "53300"
	codeTooComplex     = "54000"
	codeLockTimeout    = "55P03"
	codeCanceled       = "57014"
	codeShutdown       = "57P01"
	codeInternal       = "XX000"
)

// sqlError is an error that is reported to the client.
type sqlError struct {
	code    string
	message string
	fatal   bool // the server closes the connection after reporting it
}

func (e *sqlError) Error() string { return e.code + ": " + e.message }

func newError(code, format string, args ...any) *sqlError {
	return &sqlError{code: code, message: fmt.Sprintf(format, args...)}
}

func fatalError(code, format string, args ...any) *sqlError {
	return &sqlError{code: code, message: fmt.Sprintf(format, args...), fatal: true}
}

// canceledError is returned for a statement whose context has ended: by a cancel
// request, by statement_timeout, or with the connection. The text, which imitates
// PostgreSQL, is the same in all cases.
func canceledError() *sqlError {
	return newError(codeCanceled, "canceling statement due to user request")
}

// response converts err to the ErrorResponse message of the protocol.
func response(err error) *pgproto3.ErrorResponse {
	e := toSQLError(err)
	severity := "ERROR"
	if e.fatal {
		severity = "FATAL"
	}
	return &pgproto3.ErrorResponse{
		Severity:            severity,
		SeverityUnlocalized: severity,
		Code:                e.code,
		Message:             e.message,
	}
}

// toSQLError returns the sqlError that err wraps, or one made from an SQLite
// error.
func toSQLError(err error) *sqlError {
	var e *sqlError
	if errors.As(err, &e) {
		return e
	}
	return newError(sqliteState(err), "%s", err.Error())
}

// sqliteState maps an SQLite error to an SQLSTATE.
func sqliteState(err error) string {
	switch code := sqlite.ErrCode(err); code {
	case sqlite.ResultConstraintUnique, sqlite.ResultConstraintPrimaryKey, sqlite.ResultConstraintRowID:
		return codeUnique
	case sqlite.ResultConstraintNotNull:
		return codeNotNull
	case sqlite.ResultConstraintForeignKey:
		return codeForeignKey
	case sqlite.ResultConstraintCheck:
		return codeCheck
	case sqlite.ResultInterrupt:
		return codeCanceled
	default:
		return messageState(err.Error())
	}
}

// messageState maps an SQLite error to an SQLSTATE by its message, for errors
// that share one SQLite error code.
func messageState(message string) string {
	for _, m := range []struct{ text, code string }{
		{"no such table", codeUndefinedTable},
		{"no such column", codeUndefinedCol},
		{"already exists", codeDuplicateTable},
		{"syntax error", codeSyntax},
		{"incomplete input", codeSyntax},
		{"unrecognized token", codeSyntax},
	} {
		if strings.Contains(message, m.text) {
			return m.code
		}
	}
	return codeInternal
}

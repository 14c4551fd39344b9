// Package misuse holds the tests that run a crowd of callers which don't behave against
// the daemon as a process of its own. They are built with the tag "misuse" and run one at
// a time, apart from other tests: go test -tags misuse -p 1 ./internal/misuse
package misuse

// Package defaults fills in options that a caller left at zero.
package defaults

// Set sets field to value if field is zero.
func Set[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

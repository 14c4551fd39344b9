// Package defaults fills the settings that a caller left out.
package defaults

// Set gives field the value if it is zero.
func Set[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

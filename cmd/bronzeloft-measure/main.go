// Command bronzeloft-measure prints the slopes that docs/CAPACITY.md is worked
// out from, as JSON.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"

	"github.com/bronzeloft/bronzeloft/internal/measure"
)

func main() {
	c, err := measure.MeasureCapacity(context.Background())
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	enc := json.NewEncoder(os.Stdout)
	enc.SetIndent("", "  ")
	if err := enc.Encode(c); err != nil {
		os.Exit(1)
	}
}

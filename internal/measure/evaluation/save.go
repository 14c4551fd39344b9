package evaluation

import (
	"encoding/json"
	"os"
	"path/filepath"

	"github.com/rotisserie/eris"
)

// Names of the files that Save writes in addition to the charts.
const (
	resultsFile = "results.json"
	tableFile   = "table.txt"
)

// JSON returns the results as an indented JSON document.
func (r Results) JSON() ([]byte, error) {
	b, err := json.MarshalIndent(r, "", "  ")
	if err != nil {
		return nil, eris.Wrap(err, "encode results")
	}
	return append(b, '\n'), nil
}

// Save writes results.json, table.txt and every chart, in each of the given formats
// (svg, png), to the directory dir, which it creates if needed.
func (r Results) Save(dir string, formats ...string) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return eris.Wrap(err, "create directory for results")
	}
	b, err := r.JSON()
	if err != nil {
		return err
	}
	if err := os.WriteFile(filepath.Join(dir, resultsFile), b, 0o644); err != nil {
		return eris.Wrap(err, "write results")
	}
	if err := r.saveTable(filepath.Join(dir, tableFile)); err != nil {
		return err
	}
	for _, c := range r.Charts() {
		for _, format := range formats {
			if err := c.Save(filepath.Join(dir, c.File+"."+format), format); err != nil {
				return eris.Wrapf(err, "write chart %s", c.File)
			}
		}
	}
	return nil
}

func (r Results) saveTable(file string) (err error) {
	f, err := os.Create(file)
	if err != nil {
		return eris.Wrap(err, "create table file")
	}
	defer func() {
		if cerr := f.Close(); err == nil && cerr != nil {
			err = eris.Wrap(cerr, "write table file")
		}
	}()
	return eris.Wrap(r.WriteTable(f), "write table file")
}

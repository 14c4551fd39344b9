package settings

import "fmt"

// Describe returns every setting in the order of the documentation.
func Describe() []Field {
	out := make([]Field, len(fields))
	for i := range fields {
		out[i] = fields[i].describe()
	}
	return out
}

func (f *field) describe() Field {
	d := Field{Key: f.key, Unit: f.unit, Doc: f.doc}
	switch {
	case f.text != nil:
		d.Default, d.Range = f.textDef, f.textRule.Allowed
	case f.list != nil:
		d.Default, d.Range = "[]", "list of "+f.listRule.Allowed
	case f.number != nil:
		d.Default, d.Range = fmt.Sprint(f.numDef), fmt.Sprintf("%d to %d", f.numLo, f.numHi)
	case f.float != nil:
		d.Default, d.Range = fmt.Sprint(f.floatDef), fmt.Sprintf("%g to %g", f.floatLo, f.floatHi)
	case f.duration != nil:
		d.Default, d.Range = f.durDef.String(), fmt.Sprintf("%s to %s", f.durLo, f.durHi)
	case f.secret != nil:
		d.Range = "any text"
	}
	return d
}

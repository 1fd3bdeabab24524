package laceyaml

import "strings"

// Reference renders a table of the fields in Markdown, one row a key.
func Reference(fields []Field) string {
	var b strings.Builder
	b.WriteString("| key | default | allowed | meaning |\n|---|---|---|---|\n")
	rows(&b, "", fields)
	return b.String()
}

func rows(b *strings.Builder, prefix string, fields []Field) {
	for _, f := range fields {
		path := join(prefix, f.Name)
		if f.Collection != "" || len(f.Fields) > 0 {
			below := path
			switch f.Collection {
			case "map":
				below += ".ID"
			case "list":
				below += "[]"
			}
			row(b, path, "", f.Expect, f.Doc)
			rows(b, below, f.Fields)
			continue
		}
		def := ""
		switch {
		case f.Required:
			def = "required"
		case f.text() != "":
			def = "`" + f.text() + "`"
		}
		row(b, path, def, f.Expect, f.Doc)
	}
}

func row(b *strings.Builder, cells ...string) {
	cells[0] = "`" + cells[0] + "`"
	for _, c := range cells {
		c = strings.ReplaceAll(c, "an id: "+IDForm, "an id")
		b.WriteString("| " + strings.ReplaceAll(c, "|", `\|`) + " ")
	}
	b.WriteString("|\n")
}

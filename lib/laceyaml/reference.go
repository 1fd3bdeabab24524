package laceyaml

import "strings"

// Reference renders the fields as a Markdown table with one row per key.
func Reference(fields []Field) string {
	var b strings.Builder
	b.WriteString("| key | default | allowed | meaning |\n|---|---|---|---|\n")
	writeRows(&b, "", fields)
	return b.String()
}

func writeRows(b *strings.Builder, prefix string, fields []Field) {
	for _, f := range fields {
		path := joinPath(prefix, f.Name)
		if f.Collection != "" || len(f.Fields) > 0 {
			childPrefix := path
			switch f.Collection {
			case "map":
				childPrefix += ".ID"
			case "list":
				childPrefix += "[]"
			}
			writeRow(b, path, "", f.Expect, f.Doc)
			writeRows(b, childPrefix, f.Fields)
			continue
		}
		defaultText := ""
		switch {
		case f.Required:
			defaultText = "required"
		case f.text() != "":
			defaultText = "`" + f.text() + "`"
		}
		writeRow(b, path, defaultText, f.Expect, f.Doc)
	}
}

func writeRow(b *strings.Builder, cells ...string) {
	cells[0] = "`" + cells[0] + "`"
	for _, c := range cells {
		c = strings.ReplaceAll(c, "an id: "+IDForm, "an id")
		b.WriteString("| " + strings.ReplaceAll(c, "|", `\|`) + " ")
	}
	b.WriteString("|\n")
}

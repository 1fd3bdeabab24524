package laceconfig

import (
	"strings"

	"lacewingcove/lib/laceyaml"
)

// Page returns docs/configuration.md; a test keeps the file equal to it.
func ReferencePage() string {
	var b strings.Builder
	b.WriteString(`# Configuration document

This page is generated from the tables in lib/laceconfig; ` + "`go test ./laceconfig -update`" + ` in lib/ writes it.

The document is YAML with the sections below. Each has an owner, the team that answers for its content. A file for
` + "`lacectl config apply`" + ` holds any of the sections; a section replaces the former one as a whole. Sections that a file
leaves out stay as they are.

` + "`lacectl config show`" + ` prints the document with ` + "`base`" + `, the state of each section. An edit of that output is accepted
if the sections that it changes are still at that state. Edits of different sections merge, and the merged whole is
checked again. An edit of a section that has changed meanwhile is refused with a conflict. Sections that were never
edited need no base.

Durations have a unit (` + "`500ms`, `10s`, `24h`" + `), sizes too (` + "`64KiB`, `4MiB`" + `). Ids are
` + laceyaml.IDForm + `.
Unknown and repeated keys, aliases and merge keys are faults. Every fault is reported with its line, its path and what
is expected. An entry has at most ` + laceyaml.FormatSize(maxEntry) + `.

| section | owner | content |
|---|---|---|
`)
	for _, s := range Sections() {
		b.WriteString("| `" + string(s) + "` | " + s.Owner() + " | " + s.Description() + " |\n")
	}
	b.WriteString("\n## Keys\n\n" + KeyReference() + `
## Rules across keys

- A budget belongs to one client account, and each client account has at least one.
- A key hash is listed once in the whole document, a key name once in a client account.
- The budget of a key is one of its client account.
- The models and services of a backend server are listed in their sections. An engine has no services, a plain service
  has no models and at least one service.
- An address belongs to one backend server.
- The output of a model is at most its context.
`)
	return b.String()
}

// Reference returns the table of the document's keys in Markdown.
func KeyReference() string {
	d := Default()
	return laceyaml.Reference(fileFields(&d, &d.Version, map[Section]*string{}))
}

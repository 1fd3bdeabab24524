package lacesetting

import "lacewingcove/lib/laceyaml"

// Page returns docs/settings.md; a test keeps the file equal to it.
func ReferencePage() string {
	return `# Settings of a router process

This page is generated from the tables in lib/lacesetting; ` + "`go test ./lacesetting -update`" + ` in lib/ writes it.

` + "`router -settings FILE`" + ` reads a YAML file. Every key is a flag as well: ` + "`-config.fresh 3s`" + ` overrides
` + "`fresh`" + ` below ` + "`config`" + `; lists are separated by commas. Without a file the defaults apply, which work for one
process on loopback. ` + "`lacectl check FILE`" + ` checks a file and prints the effective settings.

Durations have a unit (` + "`500ms`, `10s`, `24h`" + `). Ids are
` + laceyaml.IDForm + `.
All faults are reported at once, with file, line, path and what is expected.

` + KeyReference() + `
## Rules across keys

- Plain text is accepted on loopback only: other listen addresses need ` + "`tls`" + `.
- A certificate needs its key and the other way round, and between instances an authority as well. Files must be readable.
- The three listen addresses differ.
- ` + "`public`" + ` is needed when ` + "`listen`" + ` is not an address that others can reach.
- ` + "`ledger.shards`" + ` must be equal on every instance and never change.
`
}

// Reference returns the table of the settings in Markdown.
func KeyReference() string {
	s := Default()
	return laceyaml.Reference(fields(&s))
}

// Package lacetls holds certificates that are reloaded without a restart, and the TLS configurations over them.
package lacetls

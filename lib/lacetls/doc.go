// Package lacetls provides TLS configurations whose certificates are reloaded from files without a restart.
package lacetls

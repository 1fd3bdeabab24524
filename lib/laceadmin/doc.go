// Package laceadmin is the administration API over HTTP and its client.
package laceadmin

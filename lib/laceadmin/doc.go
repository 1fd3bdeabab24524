// Package laceadmin implements the administration API over HTTP and its client.
package laceadmin

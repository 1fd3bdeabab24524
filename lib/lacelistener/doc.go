// Package lacelistener bounds what the clients of HTTP listeners hold of an instance's memory and descriptors: their
// connections, the heads and bodies of their requests, and responses that they have not read. Package laceresource
// decides; this package measures, waits and closes.
package lacelistener

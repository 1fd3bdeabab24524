// Package lacestream keeps each stream at servers of the software version that began it, also when its client takes it up
// at another instance.
//
// Each instance remembers the versions of the streams that it serves. Records in the store list the versions of each
// service that are in use or were until recently, and so outlive all instances. A version is recorded before the first
// event of its first stream is passed on, and an instance that does not know a stream reads the records. While there is
// one version, that is the version of every stream, and nothing else is written. While there are several, each instance
// also notes its streams in the store, and other instances look there. A stream whose version is not known is not
// continued.
package lacestream

// Package splitter splits JSON arrays and objects without decoding their parts, so that a part which can't be decoded
// costs no other one.
package splitter

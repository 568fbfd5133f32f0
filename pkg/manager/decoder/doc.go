// Package decoder decodes texts that hold exactly one JSON value.
package decoder

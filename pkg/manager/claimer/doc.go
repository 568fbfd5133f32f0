// Package claimer batches the claims of non-idempotent requests and maps the result of a claim to the response for
// the caller.
package claimer

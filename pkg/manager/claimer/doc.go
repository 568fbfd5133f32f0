// Package claimer builds the claims of non-idempotent requests and says what a claim's result
// means for the caller.
package claimer

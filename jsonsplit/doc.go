// Package jsonsplit splits JSON objects and arrays into their values without recursion and without a look inside them, so that a value that
// can't be decoded, such as a deeply nested one, does not keep the values beside it from being decoded.
package jsonsplit

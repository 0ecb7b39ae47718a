// Package document decodes JSON with comments into typed values and reports
// every error with its file, line and field.
package document

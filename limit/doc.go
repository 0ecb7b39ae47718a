// Package limit enforces the rate limits of customers with token buckets and assigns their requests a priority level by
// fair share.
package limit

// Package place selects the instance that runs a request. It combines load-aware picking with backoff and outlier ejection.
package place

// Package limit decides whether a customer's request is within its rate and how the customer ranks among others.
package limit

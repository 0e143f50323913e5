// Package ratelimits keeps the rate limits that endpoints name in their answers.
package ratelimits

// Package childprocess starts child processes that end with the process that
// started them, however that ends. Whoever starts a child waits for its end.
package childprocess

// Package httpjson writes the JSON answers of the HTTP interfaces: a status with
// a body, or an error as api.Error. It defines only the form of the answers; its
// callers decide which requests are rejected, and why.
package httpjson

// Package httpjson writes the JSON answers of the HTTP interfaces: a body with
// its status, or a refusal in the one error shape of package api. It says how
// answers look; who is refused, and for what, is up to its callers.
package httpjson

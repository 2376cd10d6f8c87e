// Package api holds what the outside sees of decklever: the JSON types of
// the HTTP interface, their validation, and a small client. The command line
// uses this package like anyone else.
//
// Units: durations are text such as "1.5s" (see Duration), memory is in
// mebibytes, processor share in thousandths of a core, times are RFC 3339.
package api

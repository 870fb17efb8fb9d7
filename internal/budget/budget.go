// Package budget decides how much memory a process holds for its callers, for whom, and what it takes back when the
// memory is used up; and which connection makes room for another. A bound on each connection bounds nothing: callers
// open as many as they like.
//
// It is called by package httpserver for the heads of requests and by package gateway for their bodies. It does no
// input or output, and reads no clock: callers pass the time.
package budget

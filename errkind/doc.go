// Package errkind holds the closed list of error kinds and the table that maps
// each kind to its outcome and HTTP answer.
//
// An outcome tells a caller whether the work ran. Only a kind whose outcome is
// NotRun or Overloaded may be given when it is proved that the backend server
// did not start the work.
package errkind

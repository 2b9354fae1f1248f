// Package fleet holds the value types that several modules share: identities,
// announcements of backend servers, load reports and the metadata of a call.
package fleet

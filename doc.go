// Package vanillaarch serves generated text of unknown length from a shared
// pool of inference engines. It puts one entry VM together, of which there are two
// kinds:
//
//   - A Server serves the product's own interface, the completions API, from a
//     configuration file (server*.go).
//   - An Entry serves routes that an operator configures in a platform's store
//     (entry*.go).
//
// Both join a mesh of entry VMs (mesh*.go).
package vanillaarch

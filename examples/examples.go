// Package examples holds the sheets of two deployments: Ulaanbaatar with four
// failure domains, and Nairobi with three.
//
// # Usage
//
//	config, err := parser.Parse(strings.NewReader(examples.Ulaanbaatar))
package examples

import _ "embed"

// Ulaanbaatar is the sheet of the Altan Bumbug Learning Trust.
//
//go:embed ulaanbaatar.csv
var Ulaanbaatar string

// Nairobi is the sheet of Nyakundi & Sons Bell Foundry.
//
//go:embed nairobi.csv
var Nairobi string

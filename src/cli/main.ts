#!/usr/bin/env node
/** The command line of dotterelspoke. */
import { createProgram } from './createProgram/index.js'

await createProgram().parseAsync()

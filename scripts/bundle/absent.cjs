/** Stands in for an optional native addon: its user catches the failure and does without. */
throw new Error('left out of the bundle')

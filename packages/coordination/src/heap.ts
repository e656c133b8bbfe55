/** A binary heap that indexes the position of each item, so that any item can be moved or removed. */

/**
 * Orders items by smallest key, then by smallest tie. Insertion, removal and a change of key take
 * logarithmic time.
 */
export class IndexedHeap<Item> {
  readonly #items: Item[] = []
  readonly #keys: number[] = []
  readonly #ties: number[] = []
  readonly #positions = new Map<Item, number>()

  get size (): number {
    return this.#items.length
  }

  has (item: Item): boolean {
    return this.#positions.has(item)
  }

  peek (): Item | undefined {
    return this.#items[0]
  }

  peekKey (): number | undefined {
    return this.#keys[0]
  }

  /** Inserts the item, or updates its key if it is already in the heap. */
  set (item: Item, key: number, tie = 0): void {
    const position = this.#positions.get(item)
    if (position === undefined) {
      this.#items.push(item)
      this.#keys.push(key)
      this.#ties.push(tie)
      this.#positions.set(item, this.#items.length - 1)
      this.#siftUp(this.#items.length - 1)
      return
    }
    this.#keys[position] = key
    this.#ties[position] = tie
    this.#siftUp(position)
    this.#siftDown(this.#positions.get(item) as number)
  }

  delete (item: Item): boolean {
    const position = this.#positions.get(item)
    if (position === undefined) return false
    const last = this.#items.length - 1
    this.#swap(position, last)
    this.#items.pop()
    this.#keys.pop()
    this.#ties.pop()
    this.#positions.delete(item)
    if (position < last) {
      this.#siftUp(position)
      this.#siftDown(position)
    }
    return true
  }

  pop (): Item | undefined {
    const item = this.#items[0]
    if (item !== undefined) this.delete(item)
    return item
  }

  /** All items, in no particular order. */
  values (): readonly Item[] {
    return this.#items
  }

  #siftUp (start: number): void {
    let position = start
    while (position > 0) {
      const parent = (position - 1) >> 1
      if (!this.#before(position, parent)) return
      this.#swap(position, parent)
      position = parent
    }
  }

  #siftDown (start: number): void {
    let position = start
    while (true) {
      const child = this.#smallerChild(position)
      if (child === undefined || !this.#before(child, position)) return
      this.#swap(position, child)
      position = child
    }
  }

  #smallerChild (position: number): number | undefined {
    const left = 2 * position + 1
    if (left >= this.#items.length) return undefined
    const right = left + 1
    if (right >= this.#items.length) return left
    return this.#before(right, left) ? right : left
  }

  #before (one: number, other: number): boolean {
    const key = this.#keys[one] as number
    const otherKey = this.#keys[other] as number
    if (key !== otherKey) return key < otherKey
    return (this.#ties[one] as number) < (this.#ties[other] as number)
  }

  #swap (one: number, other: number): void {
    if (one === other) return
    const item = this.#items[one] as Item
    const key = this.#keys[one] as number
    const tie = this.#ties[one] as number
    this.#items[one] = this.#items[other] as Item
    this.#keys[one] = this.#keys[other] as number
    this.#ties[one] = this.#ties[other] as number
    this.#items[other] = item
    this.#keys[other] = key
    this.#ties[other] = tie
    this.#positions.set(this.#items[one] as Item, one)
    this.#positions.set(item, other)
  }
}
